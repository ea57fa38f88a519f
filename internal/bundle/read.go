package bundle

import "github.com/shalefork/shalefork/internal/strictyaml"

// Read decodes the YAML of one bundle and checks it. It returns all problems
// at once, with their positions in the file; the bundle is usable only if there are
// none.
func Read(file string, data []byte) (Bundle, []Problem) {
	var read Bundle
	problems := strictyaml.Read(file, data, &read, func() []Problem { return Check(read) })
	return read, problems
}
