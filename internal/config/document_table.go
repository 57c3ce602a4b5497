package config

// Kinds of the document's sections.
const (
	KindEnvironment = "environment"
	KindModel       = "model"
	KindGroup       = "group"
	KindWorkspace   = "workspace"
	KindKey         = "key"
	KindRoute       = "route"
)

const (
	maxRate          = "1000000000"  // tokens per second
	maxBurst         = "10000000000" // tokens
	maxCost          = "1000000000"  // tokens
	maxContextTokens = "16777216"    // tokens of one request, prompt plus completion
)

var documentTable = table{
	{Section: KindEnvironment, Key: "name", Type: TypeText, Required: true,
		Doc: "Name shown to people. Trial and production hold the same bytes."},

	{Section: KindModel, Key: "group", Type: TypeName, Required: true,
		Doc: "Group of the engines that hold the model."},
	{Section: KindModel, Key: "base", Type: TypeName,
		Doc: "Model whose weights the engines load; none: the section's name."},
	{Section: KindModel, Key: "adapter", Type: TypeName,
		Doc: "Adapter that is loaded over the base model; none for the base model itself."},
	{Section: KindModel, Key: "weights_version", Type: TypeName, Required: true,
		Doc: "Version of the weights that new requests use."},
	{Section: KindModel, Key: "context_tokens", Type: TypeInteger, Unit: "tokens", Default: "32768", Min: "1", Max: maxContextTokens,
		Doc: "Longest prompt plus completion."},
	{Section: KindModel, Key: "default_max_tokens", Type: TypeInteger, Unit: "tokens", Default: "512", Min: "1", Max: maxContextTokens,
		Doc: "Completion tokens reserved when the caller gives no max_tokens. Less than context_tokens."},

	{Section: KindGroup, Key: "kind", Type: TypeChoice, Required: true, Choices: []string{string(GroupEngines), string(GroupService)},
		Doc: "What the backend servers of the group are."},
	{Section: KindGroup, Key: "checks_orders", Type: TypeBoolean, Default: "no",
		Doc: "The backend servers themselves refuse orders with an outdated fencing token. If not, the sidecar does."},

	{Section: KindWorkspace, Key: "rate", Type: TypeInteger, Unit: "tokens/s", Required: true, Min: "1", Max: maxRate,
		Doc: "Tokens that the workspace gets each second, over all routers together."},
	{Section: KindWorkspace, Key: "burst", Type: TypeInteger, Unit: "tokens", Required: true, Min: "1", Max: maxBurst,
		Doc: "Tokens that the workspace may draw at once. A request that costs more is refused as invalid."},
	{Section: KindWorkspace, Key: "max_class", Type: TypeChoice, Default: string(ClassUrgent), Choices: []string{string(ClassUrgent), string(ClassDeferrable)},
		Doc: "Highest class that the workspace's requests may have."},

	{Section: KindKey, Key: "workspace", Type: TypeName, Required: true,
		Doc: "Workspace that the key belongs to."},
	{Section: KindKey, Key: "sha256", Type: TypeSHA256, Required: true,
		Doc: "SHA-256 of the whole text of the key."},

	{Section: KindRoute, Key: "path", Type: TypePath, Required: true,
		Doc: "Path of the requests: exact, or a prefix that ends in /*."},
	{Section: KindRoute, Key: "method", Type: TypeChoice, Choices: []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"},
		Doc: "Method of the requests; none for any."},
	{Section: KindRoute, Key: "group", Type: TypeName,
		Doc: "Group of the plain service; none for the generation paths."},
	{Section: KindRoute, Key: "strip_prefix", Type: TypePath,
		Doc: "Prefix of the path that the service does not see: with /desk, /desk/lookup/7 reaches it as /lookup/7."},
	{Section: KindRoute, Key: "access", Type: TypeChoice, Default: string(AccessKey), Choices: []string{string(AccessKey), string(AccessOpen)},
		Doc: "key: needs a workspace's key. open: open to all, in the bucket of the named workspace."},
	{Section: KindRoute, Key: "workspace", Type: TypeName,
		Doc: "For open routes: the workspace whose rate and burst limit the route."},
	{Section: KindRoute, Key: "once", Type: TypeBoolean, Default: "no",
		Doc: "Calls are run at most once, by their idempotency key. For plain services only."},
	{Section: KindRoute, Key: "class", Type: TypeChoice, Default: string(ClassUrgent), Choices: []string{string(ClassUrgent), string(ClassDeferrable)},
		Doc: "Class of requests that do not name one."},
	{Section: KindRoute, Key: "cost", Type: TypeInteger, Unit: "tokens", Default: "1", Min: "1", Max: maxCost,
		Doc: "Tokens drawn by a call of a plain service. Generation costs prompt plus completion."},
	{Section: KindRoute, Key: "patience", Type: TypeDuration, Default: "30s", Min: "1ms", Max: "24h",
		Doc: "Longest wait for execution before a refusal."},
	{Section: KindRoute, Key: "timeout", Type: TypeDuration, Default: "5m", Min: "1ms", Max: "24h",
		Doc: "Longest execution of a call."},
}
