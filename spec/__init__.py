"""Small specifications of the core protocols, model-checked."""
