"""The router's core: requests, sessions and attempts, independent of any wire protocol."""
