#!/bin/sh
# Builds the stand-ins of the cases 6, 7, 8 and 10: they are Perl programs that use the modules
# of perl-base only, so their syntax is checked.
cd "$(dirname "$0")/.." || exit 1
for f in review/stand-in-2/world.pl review/6/case.pl review/7/case.pl review/8/case.pl review/10/case.pl; do
	perl -Ireview/stand-in-2 -c "$f" || exit 1
done
