"""The way of one generation or plain request to its upstream and back."""
