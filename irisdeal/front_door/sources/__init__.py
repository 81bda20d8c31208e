"""Where what a door is told comes from: readers that turn files and services into the pure forms of other
packages."""
