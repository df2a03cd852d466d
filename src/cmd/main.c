#include <stdio.h>

#include "../camphorshed.h"

int main(void)
{
	puts(CAMPHORSHED_VERSION);
	return 0;
}
