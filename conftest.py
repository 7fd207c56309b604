"""What all tests of the project share."""

pytest_plugins = ('tools.known_red',)
