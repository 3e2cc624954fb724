"""Real processes of the program on loopback, stand-ins for what they talk to, and faults between them.

A tool beside the product, which never imports it; may use all of the product and emulator/.
"""
