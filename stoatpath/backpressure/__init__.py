"""What backend servers ask of their senders in their answers."""
