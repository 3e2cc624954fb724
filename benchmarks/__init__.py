"""Measurements that anyone can run again, one command each; outside the product and of CI."""
