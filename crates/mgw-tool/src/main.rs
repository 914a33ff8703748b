//! Entry point of `marigoldwall`, the command-line tool of the operators.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    let (mut out, mut err) = (io::stdout().lock(), io::stderr().lock());
    let exit = mgw_tool::run::run(arguments, std::env::vars_os(), &mut out, &mut err);
    ExitCode::from(exit.code())
}
