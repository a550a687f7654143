fn main() -> eyre::Result<()> {
    cornellink::process::run()
}
