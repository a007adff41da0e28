"""The real limiter: clients, servers, counter and discovery on sockets, joined to the Brain."""
