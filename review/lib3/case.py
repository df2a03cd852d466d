"""What the scripts of the third review have in common: exit codes, the record,
and the switch TROUBLE."""
import asyncio
import os
import shutil
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from site3 import Record, Site, now_ms  # noqa: E402,F401

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def main(case, limit_s=110):
    """Runs case(record, site_dir) and exits: 1 broken, 0 held, 2 could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    site_dir = tempfile.mkdtemp(prefix="review3-")
    if not os.path.exists("target/camphorshed"):
        print("target/camphorshed is missing: make target")
        sys.exit(2)
    try:
        ran = asyncio.run(asyncio.wait_for(case(record, site_dir), limit_s))
    except (asyncio.TimeoutError, OSError, AssertionError) as e:
        record.line("the case could not run: %r" % e)
        print("could not run: %r" % e)
        sys.exit(2)
    finally:
        shutil.rmtree(site_dir, ignore_errors=True)
    if not ran:
        record.line("the case did not come to the point that it tests")
        print("did not come to the point")
        sys.exit(2)
    for rule, text in record.broken:
        print("%s: %s" % (rule, text))
    record.line("%d times broken" % len(record.broken))
    sys.exit(1 if record.broken else 0)
