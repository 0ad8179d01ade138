"""Every fault at every step of every flow, against the real reducers."""
