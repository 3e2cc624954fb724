"""The list of media servers: its updates as JSON, and the watch on the service that tells them."""
