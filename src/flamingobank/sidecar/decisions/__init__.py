"""Routing, retry and admission rules, free of clocks, sockets and logging."""
