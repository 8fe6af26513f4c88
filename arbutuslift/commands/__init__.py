"""Commands of ``arbutusliftctl``."""
