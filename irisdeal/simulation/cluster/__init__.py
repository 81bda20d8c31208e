"""The gateway's programs in virtual time: disks that tear, machines that die, and judges of what must hold."""
