"""The platform's wire: RTSP to viewers and pumps, and the change log."""
