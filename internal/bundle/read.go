package bundle

import "github.com/shalefork/shalefork/internal/strictyaml"

// Read decodes the YAML of one bundle and checks it. It returns every problem
// at once, with its place in the file; the bundle is usable only if there is
// none.
func Read(file string, data []byte) (Bundle, []Problem) {
	var read Bundle
	problems := strictyaml.Read(file, data, &read, func() []Problem { return Check(read) })
	return read, problems
}
