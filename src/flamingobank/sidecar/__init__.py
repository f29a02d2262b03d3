"""Run one small process beside each instance."""
