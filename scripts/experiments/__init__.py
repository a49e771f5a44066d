"""Modules of scripts/experiment: the deployment and its faults, the checks after a run, and the report."""
