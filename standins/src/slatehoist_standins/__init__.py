"""Small fakes of the outside systems, each run as a process of its own.

`fleet` starts them together with the product's processes.
"""
