"""Limits that hold over all proxies together: concurrency, shedding of excess requests, retry budgets.

Modules: `interval_clock`, `messages` and `interval_counter` (totals of all proxies, per interval),
`concurrency_limit` with `demand_split`, `probabilistic_throttle` and `retry_budget`. None of them does I/O;
time is an argument.
"""
