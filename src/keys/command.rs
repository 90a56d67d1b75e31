use {
    super::{Authority, KeyError, PeerName},
    crate::{codes::ResultCode, fleet::KeyDigest},
    getopts::Options,
    std::{
        fs::{self, OpenOptions},
        io::Write,
        os::unix::fs::OpenOptionsExt,
        path::Path,
        process::ExitCode,
    },
};

const USAGE: &str = "\
archmast-keys COMMAND

Commands:
  authority DIR              make a new authority in DIR
  issue DIR HOST ROLE        make HOST.crt and HOST.key in DIR, for a router or sidecar
  account                    make a caller's key and the digest to configure";

/// Permissions of the files written: only their owner may read them.
const FILE_MODE: u32 = 0o600;

/// The command `archmast-keys`, which operators run on their own machine, not on the fleet's hosts.
pub fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.code.number())
        }
    }
}

fn run(arguments: &[String]) -> Result<String, KeyError> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    let matches = options
        .parse(arguments)
        .map_err(|error| KeyError::new(ResultCode::Usage, "command line", error))?;
    if matches.opt_present("help") {
        return Ok(options.usage(USAGE) + "\n");
    }
    let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match free.as_slice() {
        ["authority", folder] => make_authority(Path::new(folder)),
        ["issue", folder, host, role] => issue(Path::new(folder), host, role),
        ["account"] => Ok(make_account_key()),
        _ => Err(KeyError::new(
            ResultCode::Usage,
            "command line",
            "no such command; see --help",
        )),
    }
}

fn make_authority(folder: &Path) -> Result<String, KeyError> {
    let authority = Authority::create()?;
    write(&folder.join("authority.pem"), authority.certificate())?;
    write(&folder.join("authority.key"), authority.private_key())?;
    Ok(format!(
        "made authority.pem, which every process needs, and authority.key, which none does, in {}\n",
        folder.display()
    ))
}

fn issue(
    folder: &Path,
    host: &str,
    role: &str,
) -> Result<String, KeyError> {
    let role = role.parse().map_err(|()| {
        KeyError::new(
            ResultCode::Usage,
            "command line",
            "ROLE is router or sidecar",
        )
    })?;
    let authority = Authority::from_pem(
        read(&folder.join("authority.pem"))?,
        read(&folder.join("authority.key"))?,
    );
    let issued = authority.issue(&PeerName::new(host, role))?;
    write(&folder.join(format!("{host}.crt")), &issued.certificate)?;
    write(&folder.join(format!("{host}.key")), &issued.private_key)?;
    Ok(format!(
        "made {host}.crt and {host}.key in {}\n",
        folder.display()
    ))
}

fn make_account_key() -> String {
    let key: String = (0..4)
        .map(|_| format!("{:016x}", rand::random::<u64>()))
        .collect();
    format!("key = {key}\nkey_sha256 = {}\n", KeyDigest::of_key(&key))
}

fn read(path: &Path) -> Result<String, KeyError> {
    fs::read_to_string(path).map_err(|error| {
        KeyError::new(
            ResultCode::SettingsFileMissing,
            &path.display().to_string(),
            error,
        )
    })
}

/// Writes a new file; fails if it exists.
fn write(
    path: &Path,
    text: &str,
) -> Result<(), KeyError> {
    let failed = |error: std::io::Error| {
        KeyError::new(ResultCode::StartFailed, &path.display().to_string(), error)
    };
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(FILE_MODE)
        .open(path)
        .map_err(failed)?;
    file.write_all(text.as_bytes()).map_err(failed)
}
