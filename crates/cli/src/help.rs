//! The text of `--help`.

/// Lists every command.
pub const HELP: &str = "\
sedgeridge: the operators' command line

USAGE
  sedgeridge COMMAND [ARGUMENTS]

SETTINGS FILES
  config check FILE          check settings; nothing is started
  config show --effective FILE
                             print every setting in force and where it comes from
  config reference           print the reference page of all settings
  accounts list FILE         list client accounts
  sites FILE                 list sites

  FILE is the base file. Add --site NAME for the overlay site-NAME.ini beside it, or
  --overlay FILE for another one. --set section.key=value overrides both and may be repeated.

OPTIONS
  --json        print JSON (check, show, list, sites)
  -h, --help    print this text
  -V, --version print the version

EXIT CODES
  0  done
  1  the operation was tried and failed
  2  the input was refused; nothing was started
";
