//! The text of `--help`.

/// Usage of all commands.
pub const HELP: &str = "\
sedgeridge: the operators' command line

USAGE
  sedgeridge COMMAND [ARGUMENTS]

SETTINGS FILES
  config check FILE            check settings; nothing is started
  config show --effective FILE print every setting in force and where it comes from
  config reference             print the reference page of all settings
  accounts list FILE           list client accounts
  sites FILE                   list sites

  FILE is the base file. Add --site NAME for the overlay site-NAME.ini beside it, or
  --overlay FILE for another one. --set section.key=value overrides both and may be repeated.

ACCEPTED CONFIGURATION
  config apply FILE            accept the base file and the overlays beside it; --remove also
                               removes what they lack; --table overrides platform.table_address
  config head --table IP:PORT  show the generation in force and the change that made it
  config wait FILE             wait until it is in force on every host of FILE;
                               --generation N, --timeout-ms N, --table IP:PORT
  accounts add NAME --key-sha256 DIGITS --table IP:PORT
                               add a client account; --weight N
  accounts import CSV --table IP:PORT
                               add client accounts, all or none; lines name,weight,key_sha256

  Changes take --author NAME, by default the user.

ORDERS TO ENGINES
  orders add FILE --endpoint NAME --kind KIND --subject NAME
                               have the coordinator give an order; KIND is load, unload (a model
                               or adapter, NAME/VERSION) or change_role (a pool); --table IP:PORT
  orders list --table IP:PORT  show the newest order to each engine

RUNNING ROUTERS
  status --router IP:PORT         show one router and the members it knows
  endpoints list --router IP:PORT list endpoints as one router sees them
  endpoints drain NAME --router IP:PORT
                                  give an endpoint no new work
  accounts list --router IP:PORT  list active client accounts as one router sees them

  IP:PORT is the router's operator_address.

LOGS
  explain ID FILE...           a request's way through the logs of hosts, in order of time, and what
                               explains its end; FILE holds the JSON lines of sedgeridge-edge

OPTIONS
  --json         print JSON
  -h, --help     print this text
  -V, --version  print the version

EXIT CODES
  0  done
  1  the operation was tried and failed
  2  the input was refused; nothing was started
";
