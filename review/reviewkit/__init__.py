"""Stand-ins with which the cases of the review start and judge the programs."""
