#!/bin/sh
# Builds what the scripts of review 3 start besides the VMs. The stand-in is a Perl
# script and needs no build; only modules of Debian's perl-base are used.
cd "$(dirname "$0")/.." || exit 2
perl -c review/stand-in-3/world.pl
