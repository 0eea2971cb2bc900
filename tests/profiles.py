"""Registers and loads the hypothesis profile of the test suite on import.

Every test module that uses hypothesis imports this module.
"""

import hypothesis

NAME = "suite"

# The run time of an example depends on the load of the machine, so the deadline
# and the health check for slow examples are off.
hypothesis.settings.register_profile(
    NAME,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile(NAME)
