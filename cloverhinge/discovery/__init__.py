"""The list of media servers: its updates in JSON, and the watch on the discovery service that sends them."""
