"""Virtual failure domain: daemons of the batch controller in virtual time."""
