"""The hypothesis profile of the whole test suite.

A test module that uses hypothesis imports this module, which loads the profile.
"""

import hypothesis

NAME = "suite"

# The time of an example depends on the load of the machine, so neither a
# deadline nor the health check for slow examples may decide a test.
hypothesis.settings.register_profile(
    NAME,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile(NAME)
