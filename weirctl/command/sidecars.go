package command

// sidecarOptions is the option for the admin addresses of sidecars. They have to be named, as the log state does not
// hold them.
type sidecarOptions struct {
	Sidecars []string `long:"sidecar" env:"WEIRCTL_SIDECARS" env-delim:"," value-name:"URL" description:"Admin address of a sidecar, for example http://127.0.0.1:7201; repeatable"`
}
