#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout --signal=INT --kill-after=5 110 \
    python3 ../second/tests/case_images.py record.txt
case $? in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
