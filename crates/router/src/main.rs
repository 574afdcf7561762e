//! `sedgeridge-router`: takes callers' requests and shares the endpoints fairly between accounts.

mod options;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = match options::parse(std::env::args_os().skip(1).collect()) {
        Ok(options::Parsed::Run(options)) => options,
        Ok(options::Parsed::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("sedgeridge-router: {error}");
            return ExitCode::from(options::BAD_INPUT);
        }
    };
    match run::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sedgeridge-router: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
