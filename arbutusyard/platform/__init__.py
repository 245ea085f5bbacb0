"""Call the platform's services and translate its formats."""
