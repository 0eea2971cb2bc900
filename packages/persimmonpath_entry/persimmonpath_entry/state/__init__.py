"""What an entry VM knows: submissions, workers, configuration."""
