"""Stand-ins and helpers of the scripts in review/11 and later folders."""
