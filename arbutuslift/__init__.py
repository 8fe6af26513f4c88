"""Layer-4 load balancer that keeps established flows alive."""
