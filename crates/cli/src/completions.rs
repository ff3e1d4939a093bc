//! Shell completions, generated from the tool's help text so that they always match its commands.
//!
//! The parser relies on the layout of the help: a command starts a line with `rattanturn NAME`, and
//! the lines of its options start with `-`.

use std::fmt::Write;

/// A command of the tool and its options.
struct Command<'a> {
    name: &'a str,
    options: Vec<&'a str>,
}

/// Generates a bash script that completes commands, options and file names.
pub(crate) fn bash_script(help: &str) -> String {
    let commands = parse_commands(help);
    let names: Vec<&str> = commands.iter().map(|c| c.name).collect();
    let mut cases = String::new();
    for command in &commands {
        // Writing to a string cannot fail.
        let _ = writeln!(
            cases,
            "        {}) words=\"{}\" ;;",
            command.name,
            command.options.join(" ")
        );
    }
    format!(
        "_rattanturn() {{\n    local word=\"${{COMP_WORDS[COMP_CWORD]}}\" words\n\
         \x20   if [ \"$COMP_CWORD\" -eq 1 ]; then\n\
         \x20       COMPREPLY=($(compgen -W \"{}\" -- \"$word\"))\n        return\n    fi\n\
         \x20   case \"${{COMP_WORDS[1]}}\" in\n{cases}    esac\n\
         \x20   COMPREPLY=($(compgen -W \"$words\" -- \"$word\") $(compgen -f -- \"$word\"))\n}}\n\
         complete -o filenames -F _rattanturn rattanturn\n",
        names.join(" ")
    )
}

/// Commands and their options, in the order of the help.
fn parse_commands(help: &str) -> Vec<Command<'_>> {
    let mut out: Vec<Command<'_>> = Vec::new();
    for line in help.lines() {
        if let Some(name) = line.strip_prefix("rattanturn ") {
            out.push(Command {
                name: name.trim(),
                options: Vec::new(),
            });
        } else if let (Some(command), Some(option)) = (out.last_mut(), long_option(line)) {
            command.options.push(option);
        }
    }
    out
}

/// The long option that a line of the help describes, if it describes one.
fn long_option(line: &str) -> Option<&str> {
    let word = line.split([' ', ',']).find(|w| w.starts_with("--"))?;
    line.trim_start().starts_with('-').then_some(word)
}
