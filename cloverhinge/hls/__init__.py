"""The HLS front: manifests rewritten for each session."""
