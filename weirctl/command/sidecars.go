package command

// sidecars is the option that names the admin addresses of sidecars. They are not in the log state.
type sidecarOptions struct {
	Sidecars []string `long:"sidecar" env:"WEIRCTL_SIDECARS" env-delim:"," value-name:"URL" description:"Admin address of a sidecar, for example http://127.0.0.1:7201; repeatable"`
}
