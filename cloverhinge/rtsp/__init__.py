"""The platform's RTSP: its messages, the front towards clients, and the connections to media servers."""
