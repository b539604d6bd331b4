# Runs the case in the current folder; sourced by its run.sh. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run. Whatever happens to the case, no
# program that it has started is left.

folder=$(mktemp -d) || exit 2
case_pid=

end_programs() {
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      grep -qs crowlever.cjs "/proc/$pid/cmdline" && kill -KILL "$pid"
    done < "$folder/pids"
  fi
  rm -rf "$folder"
}

interrupt() {
  trap '' HUP INT TERM
  [ -n "$case_pid" ] && kill -TERM "$case_pid" 2> /dev/null && wait "$case_pid"
  end_programs
  exit 2
}

trap interrupt HUP INT TERM
REVIEW_FOLDER=$folder node case.mjs &
case_pid=$!
wait "$case_pid"
code=$?
end_programs
# An error that nothing caught ends the case with 1, so a broken rule has a code of its own.
case $code in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
