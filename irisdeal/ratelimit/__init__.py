"""What is counted as one over all doors: the demand split, quotas, budgets of repeats. No input or output."""
