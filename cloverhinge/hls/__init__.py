"""The HLS front end: serves players with manifests that are rewritten for each session."""
