"""Small models that drive the real decision functions in the benches."""
