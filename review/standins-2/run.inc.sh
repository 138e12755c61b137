# Included by the scripts of the cases: runs the stand-in PROGRAM in a temporary folder.
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$here/../.." && pwd)
standin="$root/review/standins-2/bin/$PROGRAM"
entry="$root/target/bin/quetzalyoke-entry"
[ -x "$standin" ] && [ -x "$entry" ] || { echo "build the deploy file and review/build-2.sh first" >&2; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"
result=0
# All processes that the stand-in starts end with it.
timeout -k 2 115 "$standin" "$entry" "$folder" "$here/record.txt" || result=$?
[ "$result" -le 1 ] || result=2
tail -n 4 "$here/record.txt"
exit "$result"
