"""What scripts/experiment is made of: a deployment with its faults, the checks after a run, and the report."""
