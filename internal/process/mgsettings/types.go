package mgsettings

// Process has the settings that all processes share.
type Process struct {
	Name              string   `toml:"name" need:"yes" help:"the VM's name in the platform's list"`
	Zone              string   `toml:"zone" need:"yes" help:"the availability zone"`
	Region            string   `toml:"region" need:"yes" help:"the region"`
	PeerAddr          string   `toml:"peer" need:"yes" help:"IP and port for the system's other processes"`
	AdminAddr         string   `toml:"admin" need:"yes" help:"IP and port for operators: health, dump, metrics"`
	PlatformURL       string   `toml:"platform" need:"yes" help:"base URL of the platform's config service"`
	Seeds             []string `toml:"seeds" help:"peer addresses to ask while the platform gives no list of VMs"`
	Secret            string   `toml:"secret" need:"yes" help:"the key that the system's processes share, 16 characters or more"`
	PreviousSecret    string   `toml:"previous" help:"the shared key before the last change, accepted while a new one spreads"`
	LogLevel          string   `toml:"log" default:"info" choice:"debug|info|error" help:"least level of the log"`
	DrainTimeout      int64    `toml:"drain" default:"60000" min:"0" max:"3600000" unit:"ms" help:"longest drain after SIGTERM; work in progress is cut off after it"`
	UnreadyDelay      int64    `toml:"notice" default:"2000" min:"0" max:"600000" unit:"ms" help:"time between the loss of readiness and the first refusal, so that the balancer looks elsewhere"`
	HeartbeatInterval int64    `toml:"beat" default:"250" min:"20" max:"10000" unit:"ms" help:"interval of heartbeats on token streams"`
	StartupSpread     int64    `toml:"spread" default:"4000" min:"0" max:"60000" unit:"ms" help:"span over which a new process puts off its first reads of the platform, so that a restart of all stays within its rate"`
	Power             int64    `toml:"power" min:"0" max:"1000000" help:"how much this VM bears, relative to others; the strongest of a region work for all"`
	MinWatchInterval  int64    `toml:"quick" min:"0" max:"10000" unit:"ms" help:"shortest interval between two watches of the list by the one process that watches it for its region; 0: all watch alike, twice a second"`
	WatchTimeout      int64    `toml:"watch" default:"1000" min:"100" max:"600000" unit:"ms" help:"longest wait of one watch of the platform; a lost answer hides changes for as long, and a second more"`
	AnswerTimeout     int64    `toml:"answer" default:"5000" min:"50" max:"60000" unit:"ms" help:"longest time for the platform's answer to a read, or to a watch beyond its wait"`
	FetchTimeout      int64    `toml:"fetch" default:"5000" min:"50" max:"60000" unit:"ms" help:"longest time for a peer's answer with pages or the list of VMs; the next peer is asked after it"`
	MaxBackoff        int64    `toml:"backoff" default:"30000" min:"100" max:"600000" unit:"ms" help:"longest pause after failed reads of the platform; a change waits as long once it is back"`
	Memory            int64    `toml:"memory" default:"512" min:"32" max:"1000000" unit:"MB" help:"memory that the process may use; what it holds for callers of all its listeners is bounded by it"`
	TLS               TLS      `toml:"tls" help:"certificates between processes; empty: plain TCP with the shared key"`
}

// bytesPerMB converts the setting of a process's memory.
const bytesPerMB = 1_000_000

// MemoryBytes returns the memory that the process may use in bytes, 0 if it isn't set.
func (p *Process) MemoryBytes() int64 { return p.Memory * bytesPerMB }

// TLS names the files of a certificate.
type TLS struct {
	Cert string `toml:"cert" help:"file with the certificate, PEM"`
	Key  string `toml:"key" help:"file with the private key, PEM"`
	CA   string `toml:"ca" help:"file with the authority that signs the processes' certificates, PEM"`
}

// Entry has the settings of an entry.
type Entry struct {
	Process
	ListenAddr    string `toml:"listen" need:"yes" help:"IP and port for callers"`
	MaxBody       int64  `toml:"body" default:"1048576" min:"1024" max:"67108864" unit:"bytes" help:"largest request body"`
	MaxHeader     int64  `toml:"head" default:"32768" min:"4096" max:"1048576" unit:"bytes" help:"largest request header"`
	CallerTimeout int64  `toml:"slow" default:"10000" min:"100" max:"600000" unit:"ms" help:"longest time in which a caller sends the head of its request, or takes a token that is written"`
	BodyTimeout   int64  `toml:"upload" default:"60000" min:"1000" max:"3600000" unit:"ms" help:"longest time in which a caller sends the body of its request; the deadline of a routed request ends it sooner"`
	WriteTimeout  int64  `toml:"stall" default:"30000" min:"1000" max:"3600000" unit:"ms" help:"longest time for which a caller leaves what was written to it unread"`
	MaxConns      int64  `toml:"conns" default:"1024" min:"16" max:"1000000" help:"most connections of callers at a time; the one that has waited longest for its caller is ended for a new one, and where none waits new ones are closed unread"`
	ProbeTimeout  int64  `toml:"probe" default:"200" min:"1" max:"5000" unit:"ms" help:"longest wait for offers; two good ones end it, so that it is felt only where agents do not answer; a round trip to another region and some room"`
	MaxRetries    int64  `toml:"retry" default:"0" min:"0" max:"1000000" help:"retries that a service allows all entries together beyond a tenth of its answers; 0: each entry holds 64"`
	Admission     bool   `toml:"admission" default:"true" help:"whether requests for generations that can't be served in time are refused at once, while more is asked for than the engines bear"`
	CautionTime   int64  `toml:"caution" default:"30000" min:"0" max:"600000" unit:"ms" help:"how far back an entry's records of crashes must reach, itself or a peer's, before it waits for the usual number of crashes to hold a request"`
	CallTimeout   int64  `toml:"call" default:"30000" min:"100" max:"600000" unit:"ms" help:"longest plain-service call"`
	Backups       bool   `toml:"backups" default:"false" help:"name a second engine for some long generations, to which their own copies them, while engines are lost; for services with backups in the table"`
	Relay         bool   `toml:"relay" help:"pass requests that match a route of the table on to upstreams that the list names, in the headers of docs/OPERATIONS.md"`
	Speeds        bool   `toml:"speeds" default:"true" help:"learn how fast each engine is, and place requests by that, on routes with a latency goal to services whose engines state their memory"`
	ShareProbes   bool   `toml:"share" default:"true" help:"one entry asks each engine whether it leaves, on behalf of all entries, while the list of VMs may be out of date; false: each entry asks the engines that it uses"`
	Fresh         bool   `toml:"fresh" help:"no process ran under this name lately, so that caps are leased from the start; for demos and tests"`
	Public        TLS    `toml:"public" help:"certificate towards callers; empty: plain HTTP behind the platform's balancer"`
}

// Agent has the settings of an agent.
type Agent struct {
	Process
	Upstream     string  `toml:"upstream" need:"yes" help:"the upstream's name in the table"`
	UpstreamURL  string  `toml:"address" need:"yes" help:"base URL of the upstream"`
	ReaderGrace  int64   `toml:"grace" default:"15000" min:"0" max:"600000" unit:"ms" help:"how long a generation without a reader goes on"`
	ResultTTL    int64   `toml:"keep" default:"60000" min:"1000" max:"3600000" unit:"ms" help:"how long a finished generation can be read again"`
	MaxWaiting   int64   `toml:"queue" default:"512" min:"1" max:"100000" help:"most requests that wait"`
	Policy       string  `toml:"policy" default:"ours" help:"admission policy, a name that bench --policy takes"`
	InitialSpeed float64 `toml:"speed" default:"50" min:"0.1" max:"10000" unit:"tokens/s" help:"first guess of one stream's speed, before any is measured"`
}
