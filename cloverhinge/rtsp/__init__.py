"""The platform's RTSP: its messages, the front end for clients, and the connections to media servers."""
