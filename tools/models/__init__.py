"""Simulations that call the product's decision functions, and baselines for them."""
