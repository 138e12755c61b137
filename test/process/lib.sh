# Assertions for the tests of whole programs. Sourced by bash scripts that set `name`.

failures=0

fail() {
    echo "FAILED: $*" >&2
    failures=$((failures + 1))
}

# expect_exit CODE COMMAND...: runs the command and expects its exit code; its output goes to $out.
expect_exit() {
    local wanted=$1 code=0
    shift
    out=$("$@" 2>&1) || code=$?
    [ "$code" -eq "$wanted" ] || fail "exit code $code instead of $wanted: $* : $out"
}

expect_in() {
    case $1 in
    *"$2"*) ;;
    *) fail "no \"$2\" in: $1" ;;
    esac
}

expect_not_in() {
    case $1 in
    *"$2"*) fail "\"$2\" is in the output" ;;
    esac
}

# eventually SECONDS COMMAND...: retries the command until it succeeds; fails after SECONDS.
eventually() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.05
    done
}

finish() {
    [ "$failures" -eq 0 ] && echo "passed"
    exit "$((failures > 0))"
}
