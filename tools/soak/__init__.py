"""A fault soak: the real programs as processes, with faults from outside.

``python -m tools.soak SEED`` plays the schedule that a seed decides and
checks, from what callers and endpoints saw alone, what the product promises.
"""
