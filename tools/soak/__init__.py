"""Run real sidecar processes on loopback under random faults and check the promises.

Faults come from outside the processes: signals, links that a proxy delays, cuts, resets
or silences, clocks that jump, a store and servers that misbehave, and changes of the
configuration. Callers keep using their connections until the process closes them. What
is checked is what callers and servers see, and that no log names an exception.
"""
