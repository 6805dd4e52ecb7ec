package ownership

import (
	"croftlock/internal/fleet/encoding"
)

func grantCmd(job, owner string, life, token uint64, wall int64, why string) []byte {
	var w encoding.Writer
	return w.Uint(cmdGrant).Text(job).Uint(token).Uint(uint64(wall)).Text(owner).Uint(life).Text(why).Data
}

func releaseCmd(job string, token, number uint64, left []byte, wall int64, why string) []byte {
	var w encoding.Writer
	return w.Uint(cmdRelease).Text(job).Uint(token).Uint(uint64(wall)).Uint(number).Bytes(left).Text(why).Data
}

func noteCmd(job string, token, number uint64, left []byte) []byte {
	var w encoding.Writer
	return w.Uint(cmdNote).Text(job).Uint(token).Uint(0).Uint(number).Bytes(left).Data
}

func raiseCmd(job string, token uint64) []byte {
	var w encoding.Writer
	return w.Uint(cmdRaise).Text(job).Uint(token).Uint(0).Data
}

func sureCmd() []byte {
	var w encoding.Writer
	return w.Uint(cmdSure).Text("").Uint(0).Uint(0).Data
}

func knowCmd(job string, wall int64) []byte {
	var w encoding.Writer
	return w.Uint(cmdKnow).Text(job).Uint(0).Uint(uint64(wall)).Data
}
